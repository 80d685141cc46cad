package cmds

import (
	"context"
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "acaciaquay/pkg/aqproto/acaciaquay/v1"
	"acaciaquay/pkg/aqproto/acaciaquay/v1/acaciaquayv1connect"
)

func newConfigurationClient(client connect.HTTPClient, url string) acaciaquayv1connect.ConfigurationServiceClient {
	return acaciaquayv1connect.NewConfigurationServiceClient(client, url)
}

func (c *ctl) addConfig(root *kingpin.CmdClause, actions map[string]action) {
	config := root.Command("config", "Read and change the configuration.")

	get := config.Command("get", "Print the configuration as JSON, in the form that set reads.")
	actions[get.FullCommand()] = func(ctx context.Context) error {
		current, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.Configuration, error) {
			r, err := newConfigurationClient(h, url).GetConfiguration(ctx, connect.NewRequest(&pb.GetConfigurationRequest{}))
			if err != nil {
				return nil, err
			}
			return r.Msg.GetConfiguration(), nil
		})
		if err != nil {
			return err
		}
		return c.printJSON(current)
	}

	set := config.Command("set", "Change the configuration. Its revision must be the one that get printed.")
	file := set.Arg("file", "JSON file, or - for standard input.").Required().String()
	actions[set.FullCommand()] = func(ctx context.Context) error {
		wanted, err := readConfig(*file)
		if err != nil {
			return usageError{err}
		}
		accepted, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.Configuration, error) {
			r, err := newConfigurationClient(h, url).ChangeConfiguration(
				ctx, connect.NewRequest(&pb.ChangeConfigurationRequest{Configuration: wanted}))
			if err != nil {
				return nil, err
			}
			return r.Msg.GetConfiguration(), nil
		})
		if err != nil {
			return err
		}
		return c.printJSON(accepted)
	}

	status := config.Command("status", "Show which revision of the configuration is in force in each process.")
	actions[status.FullCommand()] = func(ctx context.Context) error {
		state, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.GetConfigurationStatusResponse, error) {
			r, err := newConfigurationClient(h, url).GetConfigurationStatus(
				ctx, connect.NewRequest(&pb.GetConfigurationStatusRequest{}))
			if err != nil {
				return nil, err
			}
			return r.Msg, nil
		})
		if err != nil {
			return err
		}
		return c.printConfigStatus(state)
	}
}

func readConfig(file string) (*pb.Configuration, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	var wanted pb.Configuration
	if err := protojson.Unmarshal(data, &wanted); err != nil {
		return nil, errors.Wrapf(err, "%s", file)
	}
	return &wanted, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func (c *ctl) addTop(root *kingpin.CmdClause, actions map[string]action) {
	top := root.Command("top", "Show shards, owners, queues and reservations.")
	watch := top.Flag("watch", "Print again until interrupted.").Bool()
	actions[top.FullCommand()] = func(ctx context.Context) error {
		return c.repeat(ctx, *watch, func() error {
			state, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.GetTopResponse, error) {
				client := acaciaquayv1connect.NewFleetServiceClient(h, url)
				r, err := client.GetTop(ctx, connect.NewRequest(&pb.GetTopRequest{}))
				if err != nil {
					return nil, err
				}
				return r.Msg, nil
			})
			if err != nil {
				return err
			}
			return c.printTop(state)
		})
	}
}
