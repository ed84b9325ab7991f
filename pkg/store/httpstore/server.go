package httpstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// Handler serves s at Path.
func Handler(s store.Store) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		var r request
		if err := json.Unmarshal(rc.Request.Body(), &r); err != nil {
			rc.SetStatusCode(consts.StatusBadRequest)
			return
		}
		answer := serve(ctx, s, r)
		rc.JSON(consts.StatusOK, answer)
	}
}

func serve(ctx context.Context, s store.Store, r request) response {
	var answer response
	var object store.Object
	var err error
	switch r.Op {
	case "get":
		object, err = s.Get(ctx, r.Key)
	case "create":
		object, err = s.Create(ctx, r.Key, r.Value)
	case "update":
		object, err = s.Update(ctx, r.Key, r.Value, r.Revision)
	case "list":
		answer.Objects, answer.Revision, err = s.List(ctx, r.Key)
	case "delete":
		err = s.Delete(ctx, r.Key, r.Revision)
	case "watch":
		waitCtx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMS)*time.Millisecond)
		defer cancel()
		answer.Events, answer.Revision, err = s.Watch(waitCtx, r.Key, r.Revision)
	default:
		err = &store.UnavailableError{Op: r.Op, Cause: &CallError{Message: "unknown operation"}}
	}
	if err != nil {
		return response{Error: encodeError(err)}
	}
	if object.Key != "" {
		answer.Object = &object
	}
	return answer
}
