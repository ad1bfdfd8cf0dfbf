package distribution

import (
	"testing"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/kvstore"
)

// indexChunksAtSize is the number of index chunks of 2.3 million client blocks.
const indexChunksAtSize = 35

func encodedSize(b *testing.B, message any) float64 {
	data, err := fleet.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// BenchmarkMessages reports the bytes of a question that finds nothing new, its
// answer, and an offer at full size, and times the check of such an offer.
func BenchmarkMessages(b *testing.B) {
	versions := make([]Version, 10)
	for i := range versions {
		versions[i] = Version{Key: StatePrefix + "shifts/some-shift", Revision: 100_000 + kvstore.Revision(i)}
	}
	manifest := configuration.Manifest{Revision: 1000, Index: make([]configuration.ChunkReference, indexChunksAtSize)}
	for i := range manifest.Index {
		manifest.Index[i] = configuration.ChunkReference{Kind: configuration.ChunkIndex, Size: 3_000}
	}
	for i := range 32 {
		id := configuration.OperationID("ABCDEFGHIJKLMNOPQRSTUVWXYZ")
		manifest.History = append(manifest.History, configuration.Operation{ID: id, Revision: configuration.Revision(1000 - i)})
	}
	for range 30 {
		manifest.Garbage = append(manifest.Garbage, configuration.Garbage{Since: time.Unix(1_800_000_000, 0)})
	}
	manifest.Digest = configuration.DigestOfChunks(manifest.Index)
	encoded, err := manifest.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := configuration.DecodeManifest(encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(encodedSize(b, SyncRequest{Revision: 1000, Versions: versions}), "question-B")
	b.ReportMetric(encodedSize(b, Offer{Contact: time.Second}), "answer-B")
	b.ReportMetric(encodedSize(b, Offer{Contact: time.Second, Manifest: encoded}), "offer-B")
}
