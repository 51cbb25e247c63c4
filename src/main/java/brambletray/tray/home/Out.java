package brambletray.tray.home;

import brambletray.tray.yard.Claim;
import brambletray.tray.yard.Need;
import brambletray.tray.yard.Quit;
import brambletray.tray.yard.Seen;

/**
 * What seats want done. Called from inside the calls to {@link Seats}; whoever implements it must not call back into
 * them.
 */
public interface Out {
    /** To an edge: a place. */
    void grant(String edge, Grant grant);

    /** To an edge: no place. */
    void refuse(String edge, Refuse refuse);

    /** To an edge: ask the home of another zone. */
    void elsewhere(String edge, Elsewhere elsewhere);

    /** To the hub: one more host. */
    void need(Need need);

    /** To the hub: stop an empty host. Repeated until it is said to be gone. */
    void quit(Quit quit);

    /** To the hub: a host has started. */
    void seen(Seen seen);

    /** To the hub: this seat is ours, which hosts has it? */
    void claim(Claim claim);

    /** Try a TCP connection to a host, and report by {@link Seats#knocked}. */
    void knock(String service, String hostId, String address);
}
