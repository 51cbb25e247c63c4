/**
 * Who lives among the edges: each beats to a few others, who tell the hub whom they miss; the hub's roster; and which
 * edge is home of a service by that roster. Pure: time comes in, what is to be said goes out.
 */
package brambletray.platform.failuredetection;
