/**
 * Admission control for the instances of a service: the concurrency limit across all edges, the queue of requests that
 * wait for a slot, the retry budget, and the scaling of instances. Each service has a queue per zone, run by the edge
 * assigned to it, its home. State machines without I/O: time is passed in as an argument, effects go out through
 * {@link brambletray.platform.admission.AdmissionActions}.
 *
 * <p>{@link brambletray.platform.admission.ServiceQueues} is the entry point; {@link
 * brambletray.platform.admission.AdmissionParameters} holds the tuned parameters.
 */
package brambletray.platform.admission;
