/**
 * Instances of functions: which there are, which edge is responsible for each, on which worker the next one starts, and
 * the calls to the platform that start and stop them. Runs at the one member of the core that holds the coordinator's
 * lease; its successor starts empty and learns from the edges and from the platform's list.
 */
package brambletray.platform.provisioning;
