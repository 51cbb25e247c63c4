package brambletray.platform.controlplane;

import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.replication.ReplicationMessage;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkDialer;
import brambletray.platform.transport.LinkHandler;
import brambletray.platform.transport.LinkListener;
import brambletray.runtime.Machine;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Links of one member: to the other members, which are known by their control-plane addresses, and from edges. What a
 * member says goes by the link that it has dialled, what it hears comes by those that were dialled to it. For the loop
 * only.
 */
final class PeerLinks {
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
        private LinkDialer dialler;
        private long usedAt;
    }

    private final Machine machine;
    private final FrameCodec speech;
    private final LinkIntroduction self;
    private final int port;
    private final Ear frameDispatcher;
    private final Map<String, Spoke> spokes = new HashMap<>();

    /** {@code port}: where members listen for links, on each machine the same. */
    PeerLinks(Machine machine, FrameCodec speech, Address bind, LinkIntroduction self, Ear frameDispatcher) {
        this.machine = machine;
        this.speech = speech;
        this.self = self;
        this.port = bind.port();
        this.frameDispatcher = frameDispatcher;
        new LinkListener(machine, speech, bind, new Called());
    }

    void say(String address, Object frame) {
        Spoke spoke = spokes.get(address);
        if (spoke == null) {
            if (spokes.size() >= MOST) {
                return;
            }
            spoke = new Spoke();
            spoke.dialler = new LinkDialer(
                    machine,
                    speech,
                    new Address(Address.parse(address).host(), port),
                    new Dialled(address),
                    address.hashCode());
            spokes.put(address, spoke);
        }
        spoke.usedAt = now();
        if (frame instanceof ReplicationMessage.FetchChunkResponse) {
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

    private final class Dialled implements LinkHandler {
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
            frameDispatcher.member(address, frame);
        }

        @Override
        public void down(Link link, String why) {
            frameDispatcher.gone(address);
        }
    }

    private final class Called implements LinkHandler {
        @Override
        public void up(Link link) {}

        @Override
        public void heard(Link link, Object frame) {
            if (link.tag() instanceof LinkIntroduction iam) {
                if (iam.keep()) {
                    frameDispatcher.member(iam.address(), frame);
                } else {
                    frameDispatcher.edge(iam.name(), link, frame);
                }
            } else if (frame instanceof LinkIntroduction iam) {
                link.tag(iam);
                if (iam.keep()) {
                    there(iam.address());
                } else {
                    frameDispatcher.edge(iam.name(), link);
                }
            } else {
                link.close("said something before its name");
            }
        }

        @Override
        public void down(Link link, String why) {
            if (link.tag() instanceof LinkIntroduction iam && !iam.keep()) {
                frameDispatcher.edgeGone(iam.name(), link);
            }
        }
    }
}
