package main

import "runtime/debug"

// revisionLength is the number of digits of a revision in a version, enough to be unique.
const revisionLength = 12

// version returns the version of this program: the revision of the sources that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return versionOf(info)
}

// versionOf returns the revision of a build, with "+modified" if the sources differed from it, or
// "unknown" if it was built outside a checkout.
func versionOf(info *debug.BuildInfo) string {
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	revision := settings["vcs.revision"]
	if revision == "" {
		return "unknown"
	}
	revision = revision[:min(len(revision), revisionLength)]
	if settings["vcs.modified"] == "true" {
		revision += "+modified"
	}
	return revision
}
