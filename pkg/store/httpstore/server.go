package httpstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// Handler returns the HTTP handler that serves s. Register it for POST requests at
// Path.
func Handler(s store.Store) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		var req request
		if err := json.Unmarshal(rc.Request.Body(), &req); err != nil {
			rc.SetStatusCode(consts.StatusBadRequest)
			return
		}
		resp := execute(ctx, s, req)
		rc.JSON(consts.StatusOK, resp)
	}
}

func execute(ctx context.Context, s store.Store, req request) response {
	var resp response
	var object store.Object
	var err error
	switch req.Op {
	case "get":
		object, err = s.Get(ctx, req.Key)
	case "create":
		object, err = s.Create(ctx, req.Key, req.Value)
	case "update":
		object, err = s.Update(ctx, req.Key, req.Value, req.Revision)
	case "list":
		resp.Objects, resp.Revision, err = s.List(ctx, req.Key)
	case "delete":
		err = s.Delete(ctx, req.Key, req.Revision)
	case "watch":
		waitCtx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond)
		defer cancel()
		resp.Events, resp.Revision, err = s.Watch(waitCtx, req.Key, req.Revision)
	default:
		err = &store.UnavailableError{Op: req.Op, Cause: &CallError{Message: "unknown operation"}}
	}
	if err != nil {
		return response{Error: encodeError(err)}
	}
	if object.Key != "" {
		resp.Object = &object
	}
	return resp
}
