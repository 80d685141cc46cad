package aqapi

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqmember"
	"acaciaquay/pkg/aqmetric"
	pb "acaciaquay/pkg/aqproto/acaciaquay/v1"
	"acaciaquay/pkg/aqproto/acaciaquay/v1/acaciaquayv1connect"
	"acaciaquay/pkg/aqrouter"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqtype"
)

// Server implements the services of the operators' API.
type Server struct {
	Router    *aqrouter.Router
	Changer   aqconfig.Changer
	Directory *aqmember.Directory
	Metrics   *aqmetric.Set
	// Timeout is the timeout of one call.
	Timeout time.Duration
}

// maxMessageBytes is the maximum size of a request message.
const maxMessageBytes = 1 << 20

// Register adds the services to a mux.
func (s *Server) Register(mux *http.ServeMux) {
	limits := connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxMessageBytes),
		// The intake reserves memory by the bytes that arrive, which says nothing of the size
		// of a compressed message.
		connect.WithCompression("gzip", nil, nil),
	)
	mux.Handle(acaciaquayv1connect.NewWorkloadServiceHandler(s, limits))
	mux.Handle(acaciaquayv1connect.NewConfigurationServiceHandler(s, limits))
	mux.Handle(acaciaquayv1connect.NewFleetServiceHandler(s, limits))
}

func (s *Server) submit(ctx context.Context, spec aqtype.Spec) (*pb.WorkloadStatus, error) {
	if err := aqtype.Validate(spec); err != nil {
		s.Metrics.Refused(aqmetric.RefusedBadRequest)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return statusResult(s.Router.Submit(ctx, spec))
}

func statusResult(status aqscheduler.Status, err error) (*pb.WorkloadStatus, error) {
	if err != nil {
		return nil, errorToWire(err)
	}
	return statusToWire(status)
}

// CreateService implements WorkloadService.
func (s *Server) CreateService(
	ctx context.Context, r *connect.Request[pb.CreateServiceRequest],
) (*connect.Response[pb.CreateServiceResponse], error) {
	status, err := s.submit(ctx, serviceToCore(r.Msg.GetService()))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.CreateServiceResponse{Status: status}), nil
}

// SubmitJob implements WorkloadService.
func (s *Server) SubmitJob(
	ctx context.Context, r *connect.Request[pb.SubmitJobRequest],
) (*connect.Response[pb.SubmitJobResponse], error) {
	status, err := s.submit(ctx, jobToCore(r.Msg.GetJob()))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.SubmitJobResponse{Status: status}), nil
}

// CreateWatcher implements WorkloadService.
func (s *Server) CreateWatcher(
	ctx context.Context, r *connect.Request[pb.CreateWatcherRequest],
) (*connect.Response[pb.CreateWatcherResponse], error) {
	status, err := s.submit(ctx, watcherToCore(r.Msg.GetWatcher()))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.CreateWatcherResponse{Status: status}), nil
}

// GetWorkload implements WorkloadService.
func (s *Server) GetWorkload(
	ctx context.Context, r *connect.Request[pb.GetWorkloadRequest],
) (*connect.Response[pb.GetWorkloadResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	status, err := statusResult(s.Router.Get(ctx, aqtype.WorkloadKey(r.Msg.GetKey())))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.GetWorkloadResponse{Status: status}), nil
}

// ListWorkloads implements WorkloadService.
func (s *Server) ListWorkloads(
	ctx context.Context, r *connect.Request[pb.ListWorkloadsRequest],
) (*connect.Response[pb.ListWorkloadsResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	statuses, missing := s.Router.List(ctx, aqtype.TeamID(r.Msg.GetTeam()))
	out := &pb.ListWorkloadsResponse{MissingShards: shardsToWire(missing)}
	for _, status := range statuses {
		wire, err := statusToWire(status)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		out.Statuses = append(out.Statuses, wire)
	}
	return connect.NewResponse(out), nil
}

// CancelWorkload implements WorkloadService.
func (s *Server) CancelWorkload(
	ctx context.Context, r *connect.Request[pb.CancelWorkloadRequest],
) (*connect.Response[pb.CancelWorkloadResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	status, err := statusResult(s.Router.Cancel(ctx, aqtype.WorkloadKey(r.Msg.GetKey())))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.CancelWorkloadResponse{Status: status}), nil
}

// GetConfiguration implements ConfigurationService.
func (s *Server) GetConfiguration(
	context.Context, *connect.Request[pb.GetConfigurationRequest],
) (*connect.Response[pb.GetConfigurationResponse], error) {
	current := s.Changer.Holder.Current()
	return connect.NewResponse(&pb.GetConfigurationResponse{Configuration: configToWire(current)}), nil
}

// ChangeConfiguration implements ConfigurationService.
func (s *Server) ChangeConfiguration(
	ctx context.Context, r *connect.Request[pb.ChangeConfigurationRequest],
) (*connect.Response[pb.ChangeConfigurationResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	accepted, err := s.Changer.Change(ctx, configToCore(r.Msg.GetConfiguration()))
	if err != nil {
		s.countConfigRefusal(err)
		return nil, configErrorToWire(withRevisionInForce(err, accepted))
	}
	return connect.NewResponse(&pb.ChangeConfigurationResponse{Configuration: configToWire(accepted)}), nil
}

// withRevisionInForce adds the revision that is in force to the error of a change that
// lost to another one.
func withRevisionInForce(err error, winner aqconfig.Configuration) error {
	if !errors.Is(err, aqconfig.ErrConflict) {
		return err
	}
	return errors.Wrapf(err, "revision %d is in force", winner.Revision)
}

func (s *Server) countConfigRefusal(err error) {
	switch {
	case errors.Is(err, aqconfig.ErrConflict):
		s.Metrics.Refused(aqmetric.RefusedConfigRace)
	case errors.Is(err, aqconfig.ErrInvalid):
		s.Metrics.Refused(aqmetric.RefusedConfigInvalid)
	case errors.Is(err, aqconfig.ErrNotAccepted):
		s.Metrics.Refused(aqmetric.RefusedStoreDown)
	}
}

// GetConfigurationStatus implements ConfigurationService.
func (s *Server) GetConfigurationStatus(
	context.Context, *connect.Request[pb.GetConfigurationStatusRequest],
) (*connect.Response[pb.GetConfigurationStatusResponse], error) {
	own := s.Changer.Holder.Current().Revision
	self := s.Directory.Self()
	out := &pb.GetConfigurationStatusResponse{
		AcceptedRevision: uint64(own),
		Processes: []*pb.ProcessRevision{
			{
				Process:  string(self.ID),
				Role:     string(self.Role),
				Revision: uint64(own),
			},
		},
	}
	for _, p := range s.Directory.Revisions() {
		out.AcceptedRevision = max(out.AcceptedRevision, uint64(p.Revision))
		out.Processes = append(out.Processes, &pb.ProcessRevision{
			Process:  string(p.Member.ID),
			Role:     string(p.Member.Role),
			Revision: uint64(p.Revision),
		})
	}
	return connect.NewResponse(out), nil
}

// GetTop implements FleetService.
func (s *Server) GetTop(
	ctx context.Context, _ *connect.Request[pb.GetTopRequest],
) (*connect.Response[pb.GetTopResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	tops, missing := s.Router.Top(ctx)
	out := &pb.GetTopResponse{MissingShards: shardsToWire(missing)}
	for _, top := range tops {
		out.Shards = append(out.Shards, topToWire(top))
	}
	return connect.NewResponse(out), nil
}
