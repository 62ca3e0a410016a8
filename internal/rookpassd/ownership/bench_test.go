package ownership

import (
	"fmt"
	"testing"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// BenchmarkRecovery measures decoding and replaying a log, by number of programs and bytes of history. It excludes
// reads from the object API.
func BenchmarkRecovery(b *testing.B) {
	for _, programs := range []int{100, 1000} {
		for _, bytes := range []int{1 << 10, 16 << 10} {
			var stored [][]byte
			total := 0
			for i := range programs {
				segment, err := journal.EncodeSegment(&peerv1.Segment{Records: []*peerv1.Record{
					{ProgramId: fmt.Sprint(i), Index: 1, Change: &peerv1.Record_Started{Started: &peerv1.Started{}}},
					{ProgramId: fmt.Sprint(i), Index: 2, Change: &peerv1.Record_Finished{Finished: &peerv1.Finished{
						Call: &rookpassv1.CallRequest{RequestId: "r", Input: text(bytes, i)},
					}}},
				}})
				if err != nil {
					b.Fatal(err)
				}
				stored = append(stored, segment)
				total += bytes
			}
			b.Run(fmt.Sprintf("%d programs of %d bytes", programs, bytes), func(b *testing.B) {
				b.SetBytes(int64(total))
				for b.Loop() {
					found := map[string]*program.Program{}
					for _, segment := range stored {
						decoded, err := journal.DecodeSegment(segment)
						if err != nil {
							b.Fatal(err)
						}
						replay(found, 0, []*peerv1.Segment{decoded})
					}
				}
			})
		}
	}
}

// text returns size bytes of text that compresses about as well as prose.
func text(size, seed int) []byte {
	out := make([]byte, 0, size)
	for i := 0; len(out) < size; i++ {
		out = fmt.Appendf(out, "w%x ", (i*2654435761+seed*40503)&0xffff)
	}
	return out[:size]
}
