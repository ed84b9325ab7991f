package route

import (
	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

func (r *Reply) load() *pb.Load {
	if r == nil {
		return nil
	}
	return r.Head.GetLoad()
}

func (r *Reply) configVersion() uint64 {
	if r == nil {
		return 0
	}
	return r.Head.GetConfigVersion()
}

// bodyHash returns the hash by which repeated requests and suspect requests are
// recognized, 0 for an empty body.
func bodyHash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body)
}
