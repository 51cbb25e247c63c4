/** What relay and platform share: the event loop and its clock, the simulated network, YAML. */
package brambletray.common;
