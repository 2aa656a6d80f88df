package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
	"mimosadock/standin/hosts"
	"mimosadock/standin/journal"
	"mimosadock/standin/upstream"
)

// headerTimeout bounds the time in which a client must send its request header.
const headerTimeout = 10 * time.Second

// server is a listener with its handler. The name is for log lines and errors.
type server struct {
	name     string
	listener net.Listener
	handler  http.Handler
}

// serve binds all addresses and runs the servers until ctx ends or a server
// fails.
func serve(ctx context.Context, s settings, logger *log.Logger) error {
	servers, err := open(s)
	if err != nil {
		return err
	}
	g := group.New(ctx)
	for _, srv := range servers {
		logger.Info("serving", "what", srv.name, "address", srv.listener.Addr())
		h := &http.Server{Handler: srv.handler, ReadHeaderTimeout: headerTimeout}
		g.Go(srv.name, func(context.Context) error {
			if err := h.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(srv.name, func(ctx context.Context) error {
			<-ctx.Done()
			return h.Close()
		})
	}
	return g.Wait()
}

// open binds all addresses and returns their servers. After an error no address
// stays bound.
func open(s settings) ([]server, error) {
	memory := new(journal.Memory)
	memory.SetRetention(journal.Retention{Entries: s.keepEntries, Age: clock.SpanOf(s.keepFor)})
	hostList := new(hosts.List)
	control := http.NewServeMux()
	control.Handle("/journal", journal.Control(memory))
	control.Handle("/hosts", hosts.Control(hostList))
	control.Handle("/hosts/", hosts.Control(hostList))
	servers, err := bind(nil, "journal", s.journal, journal.Handler(memory))
	if err == nil {
		servers, err = bind(servers, "hosts", s.hosts, hosts.Handler(hostList))
	}
	if err == nil {
		servers, err = bind(servers, "operator", s.operator, control)
	}
	if err != nil {
		return nil, err
	}
	servers, listings, err := openUpstreams(s, servers)
	if err != nil {
		return nil, err
	}
	hostList.Set(listings)
	hostList.SetFailures(clock.SpanOf(s.hostListLag), false, false)
	return servers, nil
}

// openUpstreams binds an address for each upstream. It returns servers with the
// upstreams added, and the listings of the upstreams for the list of hosts.
func openUpstreams(s settings, servers []server) ([]server, []member.Listing, error) {
	var listings []member.Listing
	for range s.upstreams {
		var err error
		if servers, err = bind(servers, "upstream", net.JoinHostPort(s.upstreamIP, "0"), new(upstream.Upstream)); err != nil {
			return nil, nil, err
		}
		address := servers[len(servers)-1].listener.Addr().String()
		listings = append(listings, member.Listing{
			Address:    address,
			Host:       unit.Host(netip.MustParseAddrPort(address).Addr().String()),
			DataCentre: s.unitDataCentre(),
			Role:       member.RoleExecutor,
			Service:    unit.Service(s.service),
			Slots:      unit.Slots(s.slots),
		})
	}
	return servers, listings, nil
}

func bind(servers []server, name, address string, h http.Handler) ([]server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		for _, s := range servers {
			s.listener.Close()
		}
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return append(servers, server{name, l, h}), nil
}
