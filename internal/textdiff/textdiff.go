// Package textdiff compares two short texts line by line.
package textdiff

import "strings"

// Lines returns the lines that are only in before, marked with "-", and those
// only in after, marked with "+". It uses a longest common subsequence and is
// meant for files of a few thousand lines.
func Lines(before, after string) string {
	a, b := splitLines(before), splitLines(after)
	length := lcsTable(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && length[i+1][j] >= length[i][j+1]:
			out.WriteString("-" + a[i] + "\n")
			i++
		default:
			out.WriteString("+" + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// lcsTable returns the lengths of the longest common subsequences of a[i:] and b[j:].
func lcsTable(a, b []string) [][]int {
	length := make([][]int, len(a)+1)
	for i := range length {
		length[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	return length
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
