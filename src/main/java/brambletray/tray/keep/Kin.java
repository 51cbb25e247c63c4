package brambletray.tray.keep;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Address;
import brambletray.tray.news.Iam;
import brambletray.tray.speech.Dialler;
import brambletray.tray.speech.Handler;
import brambletray.tray.speech.Link;
import brambletray.tray.speech.Listener;
import brambletray.tray.speech.Speech;
import brambletray.tray.view.Frame;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Links of one member: to the other members, which are known by their control-plane addresses, and from edges. What a
 * member says goes by the link that it has dialled, what it hears comes by those that were dialled to it. For the loop
 * only.
 */
final class Kin {
    /** ms without a word after which a link to a member is given up. */
    private static final long UNUSED = 30_000;
    /** Members that links are kept to. */
    private static final int MOST = 32;

    /** Who hears. */
    interface Ear {
        /** A member, by its control-plane address. */
        void member(String address, Object frame);

        /** A member's address refused, or ended, our link. */
        void gone(String address);

        /** An edge's link is there: what it says comes next. */
        void edge(String name, Link link);

        void edge(String name, Link link, Object frame);

        void edgeGone(String name, Link link);
    }

    private static final class Spoke {
        private Dialler dialler;
        private long usedAt;
    }

    private final Machine machine;
    private final Speech speech;
    private final Iam self;
    private final int port;
    private final Ear ear;
    private final Map<String, Spoke> spokes = new HashMap<>();

    /** {@code port}: where members listen for links, on each machine the same. */
    Kin(Machine machine, Speech speech, Address bind, Iam self, Ear ear) {
        this.machine = machine;
        this.speech = speech;
        this.self = self;
        this.port = bind.port();
        this.ear = ear;
        new Listener(machine, speech, bind, new Called());
    }

    void say(String address, Object frame) {
        Spoke spoke = spokes.get(address);
        if (spoke == null) {
            if (spokes.size() >= MOST) {
                return;
            }
            spoke = new Spoke();
            spoke.dialler = new Dialler(
                    machine,
                    speech,
                    new Address(Address.parse(address).host(), port),
                    new Dialled(address),
                    address.hashCode());
            spokes.put(address, spoke);
        }
        spoke.usedAt = now();
        if (frame instanceof Frame.Piece) {
            // pieces of a state transfer never stand in front of heartbeats, entries, acknowledgements and ballots
            spoke.dialler.sayBulk(frame);
        } else {
            spoke.dialler.say(frame);
        }
    }

    void tick(long now) {
        for (Iterator<Spoke> each = spokes.values().iterator(); each.hasNext(); ) {
            Spoke spoke = each.next();
            if (now - spoke.usedAt > UNUSED) {
                each.remove();
                spoke.dialler.close();
            }
        }
    }

    /** A member has called: what is to be said to it needn't wait for a call that began while it was away. */
    private void there(String address) {
        Spoke spoke = spokes.get(address);
        if (spoke != null && !spoke.dialler.up()) {
            spoke.dialler.hurry();
        }
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private final class Dialled implements Handler {
        private final String address;

        Dialled(String address) {
            this.address = address;
        }

        @Override
        public void up(Link link) {
            link.say(self);
        }

        @Override
        public void heard(Link link, Object frame) {
            ear.member(address, frame);
        }

        @Override
        public void down(Link link, String why) {
            ear.gone(address);
        }
    }

    private final class Called implements Handler {
        @Override
        public void up(Link link) {}

        @Override
        public void heard(Link link, Object frame) {
            if (link.tag() instanceof Iam iam) {
                if (iam.keep()) {
                    ear.member(iam.address(), frame);
                } else {
                    ear.edge(iam.name(), link, frame);
                }
            } else if (frame instanceof Iam iam) {
                link.tag(iam);
                if (iam.keep()) {
                    there(iam.address());
                } else {
                    ear.edge(iam.name(), link);
                }
            } else {
                link.close("said something before its name");
            }
        }

        @Override
        public void down(Link link, String why) {
            if (link.tag() instanceof Iam iam && !iam.keep()) {
                ear.edgeGone(iam.name(), link);
            }
        }
    }
}
