/**
 * Admission control for the instances of a service: the concurrency limit that all edges together keep, the queue of
 * requests that wait for a slot, the retry budget, and how many instances run and for how long. Each service has a
 * queue at the edge that is assigned to it. Pure state machines: time comes in as an argument, effects go out
 * through {@link brambletray.platform.admission.AdmissionActions}. <p>{@link
 * brambletray.platform.admission.ServiceQueues} is the entry point; {@link
 * brambletray.platform.admission.AdmissionParameters} holds the tuned figures.
 */
package brambletray.platform.admission;
