package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps a field's path ("pools[1].id") to its line.
type lineIndex map[string]int

// indexLines parses the source; what cannot be parsed is left out.
func indexLines(source []byte) lineIndex {
	index := lineIndex{}
	counts := map[string]int{}
	prefix := ""
	parser := unstable.Parser{}
	parser.Reset(source)
	for parser.NextExpression() {
		node := parser.Expression()
		keys, line := keysOf(&parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = resolve(counts, keys)
			index[prefix] = line
		case unstable.ArrayTable:
			parent := resolve(counts, keys)
			prefix = fmt.Sprintf("%s[%d]", parent, counts[parent])
			counts[parent]++
			index[prefix] = line
		case unstable.KeyValue:
			index[join(prefix, strings.Join(keys, "."))] = line
		}
	}
	return index
}

// line returns the line of a field (exact), or of the nearest table around it.
func (x lineIndex) line(path string) (line int, exact bool) {
	if n, ok := x[path]; ok {
		return n, true
	}
	for {
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0, false
		}
		path = path[:cut]
		if n, ok := x[path]; ok {
			return n, false
		}
	}
}

// resolve returns a table's path with the current index of each array.
func resolve(counts map[string]int, keys []string) string {
	path := ""
	for i, key := range keys {
		path = join(path, key)
		if n := counts[path]; n > 0 && i < len(keys)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func keysOf(parser *unstable.Parser, node *unstable.Node) (keys []string, line int) {
	it := node.Key()
	for it.Next() {
		key := it.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		keys = append(keys, string(key.Data))
	}
	return keys, line
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
