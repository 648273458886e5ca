package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/cluster"
	"pinedale/internal/config"
)

// statusTimeout bounds the request for a status page.
const statusTimeout = 5 * time.Second

// peersCommand returns the commands on other instances. Addresses in their arguments are values of peers.status.
func (c *commandLine) peersCommand() *cobra.Command {
	peers := &cobra.Command{Use: "peers", Short: "print and compare the status of instances"}
	peers.AddCommand(&cobra.Command{
		Use:   "show [HOST:PORT]",
		Short: "print the status of the file's instance, or of the instance whose peers.status is HOST:PORT",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return showStatus(c.out, args[0])
			}
			return c.withFile(func(file *config.File, _ []string) error {
				if file.Peers.Status == "" {
					return errors.New("peers.status is not set in the file")
				}
				return showStatus(c.out, file.Peers.Status)
			})(cmd, args)
		},
	}, &cobra.Command{
		Use:   "diff HOST:PORT HOST:PORT",
		Short: "print the differences between the status of two instances",
		Args:  cobra.ExactArgs(2),
		RunE:  func(_ *cobra.Command, args []string) error { return diffStatus(c.out, args[0], args[1]) },
	})
	return peers
}

// fetchStatus fetches the status page of an instance.
func fetchStatus(address string) (status cluster.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if status, err = cluster.Fetch(ctx, address); err != nil {
		return status, fmt.Errorf("cannot fetch the status of %s: %w", address, err)
	}
	return status, nil
}

// showStatus prints the status of an instance.
func showStatus(out io.Writer, address string) error {
	status, err := fetchStatus(address)
	if err != nil {
		return err
	}
	return status.Print(out)
}

// diffStatus prints the differences between two instances. It returns an error if there are any.
func diffStatus(out io.Writer, first, second string) error {
	firstStatus, err := fetchStatus(first)
	if err != nil {
		return err
	}
	secondStatus, err := fetchStatus(second)
	if err != nil {
		return err
	}
	differences := cluster.Diff(&firstStatus, &secondStatus)
	for _, line := range differences {
		fmt.Fprintln(out, line)
	}
	if len(differences) > 0 {
		return fmt.Errorf("%d differences between %s and %s", len(differences), first, second)
	}
	fmt.Fprintln(out, "no differences")
	return nil
}
