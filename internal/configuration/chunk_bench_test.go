package configuration

import (
	"runtime"
	"testing"
)

// designClientBlocks is the number of client blocks for which the system is designed.
const designClientBlocks = 2_300_000

func BenchmarkEncodeBlocks(b *testing.B) {
	c := syntheticBlocks(designClientBlocks)
	for b.Loop() {
		if _, err := Encode(c); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAssembleBlocks(b *testing.B) {
	chunks, err := Encode(syntheticBlocks(designClientBlocks))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		assembleFrom(b, chunks)
	}
	b.ReportMetric(float64(len(chunks.Content)), "content-chunks")
	b.ReportMetric(float64(len(chunks.Index)), "index-chunks")
}

// BenchmarkOneBlockChanged reports how many bytes a change of one client block
// rewrites, and measures how long a host that has the other chunks in its cache takes
// to assemble the new configuration.
func BenchmarkOneBlockChanged(b *testing.B) {
	c := syntheticBlocks(designClientBlocks)
	before, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	c.ClientBlocks[designClientBlocks/2].Domains = []string{"k", "a", "b"}
	after, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	existing := byDigest(before.All())
	rewritten, largest, total := 0, 0, 0
	for _, chunk := range after.All() {
		total += len(chunk.Data)
		largest = max(largest, len(chunk.Data))
		if existing[chunk.Reference.Digest] == nil {
			rewritten += len(chunk.Data)
		}
	}
	root, err := manifestOf(after).Encode()
	if err != nil {
		b.Fatal(err)
	}
	var memoryBefore, memoryAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memoryBefore)
	assembler := NewAssembler()
	for _, chunk := range before.All() {
		if err := assembler.Add(chunk.Reference, chunk.Data); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&memoryAfter)
	for b.Loop() {
		assembler.Retain(references(before.All()))
		for _, chunk := range after.All() {
			if err := assembler.Add(chunk.Reference, chunk.Data); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := assembler.Snapshot(manifestOf(after)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(rewritten), "chunk-B/change")
	b.ReportMetric(float64(len(root)), "root-B")
	b.ReportMetric(float64(largest), "largest-chunk-B")
	b.ReportMetric(float64(total), "all-chunks-B")
	b.ReportMetric(float64(memoryAfter.HeapAlloc-memoryBefore.HeapAlloc), "heap-B")
}
