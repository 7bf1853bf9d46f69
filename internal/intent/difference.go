package intent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference describes in one line which fields of two JSON objects differ, at any
// depth.
func Difference(before, after []byte) string {
	var a, b any
	if json.Unmarshal(before, &a) != nil || json.Unmarshal(after, &b) != nil {
		return "the bodies differ"
	}
	lines := Differences("", a, b)
	if len(lines) == 0 {
		return "the bodies are equal"
	}
	const maxListed = 8
	if len(lines) > maxListed {
		lines = append(lines[:maxListed], fmt.Sprintf("and %d more", len(lines)-maxListed))
	}
	return "differs in " + strings.Join(lines, ", ")
}

// Differences returns one text for each path at which two decoded JSON values differ,
// with both values.
func Differences(path string, a, b any) []string {
	mapA, okA := a.(map[string]any)
	mapB, okB := b.(map[string]any)
	if okA && okB {
		return mapDifferences(path, mapA, mapB)
	}
	listA, okA := a.([]any)
	listB, okB := b.([]any)
	if okA && okB {
		return listDifferences(path, listA, listB)
	}
	textA, textB := encode(a), encode(b)
	if bytes.Equal(textA, textB) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %s -> %s", strings.TrimPrefix(path, "."), textA, textB)}
}

func mapDifferences(path string, a, b map[string]any) []string {
	merged := maps.Clone(a)
	maps.Copy(merged, b)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(merged)) {
		lines = append(lines, Differences(path+"."+key, a[key], b[key])...)
	}
	return lines
}

func listDifferences(path string, a, b []any) []string {
	var lines []string
	for i := range max(len(a), len(b)) {
		lines = append(lines, Differences(fmt.Sprintf("%s[%d]", path, i), elementAt(a, i), elementAt(b, i))...)
	}
	return lines
}

// elementAt returns an element of a list, or nil beyond its end.
func elementAt(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return nil
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return []byte("?")
	}
	return text
}
