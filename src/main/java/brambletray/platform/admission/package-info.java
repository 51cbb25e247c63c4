/**
 * Places at the hosts of one service, given out by its seat: the limit that the sum of all relays keeps, the line, the
 * budget of further tries, how many hosts, for how long. {@link brambletray.platform.admission.ServiceQueues} is what
 * an edge runs;
 * {@link brambletray.platform.admission.AdmissionParameters} are the figures.
 */
package brambletray.platform.admission;
