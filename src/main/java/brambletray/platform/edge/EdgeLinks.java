package brambletray.platform.edge;

import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
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
 * Links among edges. Each dials those that it has something to say to first; answers go back on the link on which the
 * question came. Links to peers that have left the roster are closed. For the loop only.
 */
final class EdgeLinks {
    /** ms for which a link must be down before its peer is passed over. */
    private static final int SHUN = 120;

    /** Who hears what peers say. */
    interface Ear {
        void heard(String peer, Object frame);

        /** A link that we dialled is up: what was said before it may be lost. */
        void up(String peer);

        /** A link that we dialled is down; the peer may be gone. */
        void down(String peer);
    }

    private static final class Spoke {
        private Peer peer;
        private LinkDialer dialler;
        private long downSince = Long.MIN_VALUE;
    }

    private final Machine machine;
    private final FrameCodec speech;
    private final LinkIntroduction self;
    private final Ear frameDispatcher;
    private final Map<String, Spoke> spokes = new HashMap<>();
    private final Map<String, Link> callers = new HashMap<>();
    private Roster roster = Roster.NONE;

    EdgeLinks(Machine machine, FrameCodec speech, Address bind, LinkIntroduction self, Ear frameDispatcher) {
        this.machine = machine;
        this.speech = speech;
        this.self = self;
        this.frameDispatcher = frameDispatcher;
        new LinkListener(machine, speech, bind, new Called());
    }

    void roster(Roster next) {
        roster = next;
        for (Iterator<Map.Entry<String, Spoke>> each = spokes.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<String, Spoke> one = each.next();
            Peer peer = next.find(one.getKey());
            if (peer == null || !peer.address().equals(one.getValue().peer.address())) {
                each.remove();
                one.getValue().dialler.close();
            } else if (peer.incarnation() != one.getValue().peer.incarnation()) {
                one.getValue().peer = peer;
                one.getValue().dialler.hurry();
            }
        }
    }

    /**
     * To a peer of the roster, on a link that is dialled if there is none yet (and then is lost, but {@link Ear#up}
     * tells when to say it again).
     */
    boolean say(String name, Object frame) {
        Spoke spoke = spoke(name);
        return spoke != null && spoke.dialler.say(frame);
    }

    private Spoke spoke(String name) {
        Spoke spoke = spokes.get(name);
        if (spoke == null) {
            Peer peer = roster.find(name);
            if (peer == null) {
                return null;
            }
            Spoke made = new Spoke();
            made.peer = peer;
            made.downSince = now();
            made.dialler = new LinkDialer(
                    machine, speech, Address.parse(peer.address()), new Dialled(name, made), name.hashCode());
            spokes.put(name, made);
            return made;
        }
        return spoke;
    }

    /** Whether a link to it has been down for too long to wait for. */
    boolean shunned(String name) {
        Spoke spoke = spokes.get(name);
        return spoke != null && !spoke.dialler.up() && now() - spoke.downSince > SHUN;
    }

    /** Answers a peer on the link on which it calls. */
    boolean answer(String name, Object frame) {
        Link link = callers.get(name);
        return link != null && link.say(frame);
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private final class Dialled implements LinkHandler {
        private final String name;
        private final Spoke spoke;

        Dialled(String name, Spoke spoke) {
            this.name = name;
            this.spoke = spoke;
        }

        @Override
        public void up(Link link) {
            link.say(self);
            frameDispatcher.up(name);
        }

        @Override
        public void heard(Link link, Object frame) {
            frameDispatcher.heard(name, frame);
        }

        @Override
        public void down(Link link, String why) {
            spoke.downSince = now();
            if (spokes.get(name) == spoke) {
                frameDispatcher.down(name);
            }
        }
    }

    private final class Called implements LinkHandler {
        @Override
        public void up(Link link) {}

        @Override
        public void heard(Link link, Object frame) {
            if (frame instanceof LinkIntroduction iam) {
                link.tag(iam.name());
                callers.put(iam.name(), link);
            } else if (link.tag() instanceof String name) {
                frameDispatcher.heard(name, frame);
            } else {
                link.close("said something before its name");
            }
        }

        @Override
        public void down(Link link, String why) {
            if (link.tag() instanceof String name) {
                callers.remove(name, link);
            }
        }
    }
}
