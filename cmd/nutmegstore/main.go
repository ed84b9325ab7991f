// Command nutmegstore serves an in-memory fake of the platform's object API for
// the demo and for tests. PUT /faults injects outages, latency and lost responses;
// GET /counts returns the number of calls.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/httpstore"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// bodyLimit leaves room for the base64 encoding of the largest value.
const bodyLimit = 2 * store.MaxValueBytes

func main() {
	listen := flag.String("listen", "127.0.0.1:6000", "`address` to listen on")
	seed := flag.Uint64("seed", 1, "seed of the random faults")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "nutmegstore: unexpected argument:", flag.Arg(0))
		os.Exit(2)
	}
	fakeStore := standin.New(*seed)
	hlog.SetLevel(hlog.LevelWarn)
	h := server.New(server.WithHostPorts(*listen), server.WithMaxRequestBodySize(bodyLimit),
		server.WithExitWaitTime(time.Second), server.WithDisablePrintRoute(true))
	h.POST(httpstore.Path, httpstore.Handler(fakeStore))
	h.PUT("/faults", setFaults(fakeStore))
	h.GET("/counts", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, fakeStore.Counts())
	})
	h.Spin()
}

func setFaults(fakeStore *standin.Store) app.HandlerFunc {
	return func(_ context.Context, rc *app.RequestContext) {
		var faults standin.Faults
		if err := json.Unmarshal(rc.Request.Body(), &faults); err != nil {
			rc.String(consts.StatusBadRequest, err.Error())
			return
		}
		fakeStore.SetFaults(faults)
		rc.SetStatusCode(consts.StatusNoContent)
	}
}
