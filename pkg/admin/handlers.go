package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
)

// filesRequest decodes the request body of apply, check and diff.
func (c *call) filesRequest() (FilesRequest, accept.Request, error) {
	var body FilesRequest
	data, err := c.body()
	if err != nil {
		return body, accept.Request{}, err
	}
	if err := decodeStrict(data, &body); err != nil {
		return body, accept.Request{}, &Failure{Kind: KindBadRequest, Message: "body: " + err.Error()}
	}
	request := accept.Request{Operation: body.Operation, Author: c.principal.token.Name, BaseVersion: body.BaseVersion, Authorize: c.principal.authorize}
	for _, file := range body.Files {
		request.Files = append(request.Files, config.Source{Name: file.Name, Content: []byte(file.Content)})
	}
	return body, request, nil
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("content after the JSON value")
	}
	return nil
}

func (s *Server) apply(ctx context.Context, c *call) (any, error) {
	body, request, err := c.filesRequest()
	if err != nil {
		return nil, err
	}
	if c.principal.token.ReadOnly {
		return nil, &Failure{Kind: KindForbidden, Message: fmt.Sprintf("token %q may only read", c.principal.token.Name)}
	}
	if body.WaitMS < 0 || body.WaitMS > MaxWait.Milliseconds() {
		return nil, &Failure{Kind: KindBadRequest, Message: fmt.Sprintf("waitMs must be from 0 to %d", MaxWait.Milliseconds())}
	}
	result, err := s.options.Configurations.Accept(ctx, request)
	if err != nil {
		return nil, err
	}
	response := ApplyResult{Result: result}
	if body.WaitMS > 0 {
		response.Wait = s.waitInForce(ctx, result.Version, body.WaitMS)
	}
	return response, nil
}

func (s *Server) check(ctx context.Context, c *call) (any, error) {
	diff, err := s.proposedDiff(ctx, c)
	if err != nil {
		return nil, err
	}
	return CheckResult{BaseVersion: diff.BaseVersion, Changes: !diff.Empty()}, nil
}

func (s *Server) diff(ctx context.Context, c *call) (any, error) {
	diff, err := s.proposedDiff(ctx, c)
	if err != nil {
		return nil, err
	}
	return diff, nil
}

func (s *Server) proposedDiff(ctx context.Context, c *call) (config.Diff, error) {
	_, request, err := c.filesRequest()
	if err != nil {
		return config.Diff{}, err
	}
	return s.options.Configurations.Check(ctx, request)
}

func (s *Server) config(ctx context.Context, c *call) (any, error) {
	current, err := s.options.Configurations.Get(ctx)
	if err != nil {
		return nil, err
	}
	result := ConfigResult{
		Version: current.Configuration.Version, AcceptedAt: current.AcceptedAt, Last: current.Last,
		Configuration: current.Configuration.File(),
	}
	if name := c.Query("service"); name != "" {
		services := result.Configuration.Services
		i := slices.IndexFunc(services, func(service config.Service) bool { return service.Name == name })
		if i < 0 {
			return nil, &Failure{Kind: KindNotFound, Message: fmt.Sprintf("service %q does not exist", name), Version: result.Version}
		}
		result.Configuration = config.File{Services: services[i : i+1]}
	}
	return result, nil
}

func (s *Server) status(ctx context.Context, _ *call) (any, error) {
	if s.options.Status == nil {
		return nil, noProvider("status")
	}
	return s.options.Status.Status(ctx)
}

func (s *Server) moves(ctx context.Context, c *call) (any, error) {
	if s.options.Moves == nil {
		return nil, noProvider("moves")
	}
	moves, err := s.options.Moves.Moves(ctx, c.Query("service"))
	if moves == nil {
		moves = []MoveStatus{} // encoded as [] instead of null
	}
	return moves, err
}

func (s *Server) explain(ctx context.Context, c *call) (any, error) {
	if s.options.Explainer == nil {
		return nil, noProvider("explain")
	}
	request := ExplainRequest{Host: c.Query("host"), Path: c.Query("path"), Method: c.Query("method")}
	if request.Host == "" || request.Path == "" || request.Path[0] != '/' {
		return nil, &Failure{Kind: KindBadRequest, Message: "host, and a path that begins with '/', are needed"}
	}
	if request.Method == "" {
		request.Method = "GET"
	}
	return s.options.Explainer.Explain(ctx, request)
}

func noProvider(what string) *Failure {
	return &Failure{Kind: KindUnavailable, Message: "this daemon does not provide " + what}
}
