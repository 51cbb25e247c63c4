/**
 * Places at the hosts of one service, given out by its seat: the limit that the sum of all relays keeps, the line, the
 * budget of further tries, how many hosts, for how long. {@link brambletray.tray.home.Seats} is what an edge runs;
 * {@link brambletray.tray.home.Laws} are the figures.
 */
package brambletray.tray.home;
