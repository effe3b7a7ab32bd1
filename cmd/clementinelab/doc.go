// Command clementinelab runs the stand-ins for upstreams and the experiments.
package main
