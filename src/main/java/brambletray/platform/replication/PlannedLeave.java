package brambletray.platform.replication;

/**
 * The part of a member that is about to end as planned: leadership transfer, then a reconfiguration without it. A
 * leader begins nothing more, lets what is under way be kept and newcomers in, and only then says Bye, so that the next
 * in rank leads at once; any other member says it to the leader, which changes the view. It is said again until a view
 * without this member is in force. That view has to bear the losses; while the rest doesn't (two members, no newcomer),
 * this member stays, for as long as it may.
 */
final class PlannedLeave {
    /** ms between two Byes: one may be lost, or may come to who can't act on it yet. */
    private static final int AGAIN_MS = 100;
    /** ms for what is under way to be kept; longer only when a member is in trouble. */
    private static final int DRAIN_MS = 300;

    private final MemberState desk;
    private final Replica members;
    private final long since;
    private long saidAt = Long.MIN_VALUE / 2;
    private long drainAt;
    private String why;

    PlannedLeave(MemberState desk, Replica members) {
        this.desk = desk;
        this.members = members;
        since = desk.now;
        desk.out.tell(
                "replication.leave",
                "view",
                desk.view == null ? "none" : desk.view.ballot(),
                "leading",
                members.leading(),
                "commit",
                desk.commit,
                "end",
                desk.log.end());
    }

    /** Whether the process may end. */
    boolean over() {
        return why != null;
    }

    void tick() {
        if (why != null) {
            return;
        }
        boolean member = desk.view != null && !desk.view.founding() && !members.fallen();
        if (!member) {
            end(desk.view == null || desk.view.founding() ? "not a member" : "gone on without it");
        } else if (desk.now - since >= desk.set.leaveMs()) {
            end("nobody has gone on without it in time");
        } else if (desk.view.members().size() == 1 && !members.expecting()) {
            end("alone");
        } else if (members.changing() == null && desk.now - saidAt >= AGAIN_MS && (!members.leading() || ready())) {
            bye();
        }
    }

    /**
     * Whether this leader has nothing to finish first: newcomers that are on their way (for half of what it has, at
     * most), the last change of view, and then what is under way.
     */
    private boolean ready() {
        boolean settles = !members.rested() || members.expecting();
        if (settles && 2 * (desk.now - since) < desk.set.leaveMs()) {
            return false;
        }
        if (!desk.draining) {
            drainAt = desk.now;
        }
        desk.draining = true;
        return desk.commit >= desk.log.end() || desk.now - drainAt >= DRAIN_MS;
    }

    private void bye() {
        saidAt = desk.now;
        for (Member member : desk.view.members()) {
            if (member.life() != desk.me.life()) {
                desk.out.send(member.address(), new Frame.Leave(desk.view.ballot(), desk.me.life()));
            }
        }
    }

    private void end(String how) {
        why = how;
        View view = members.without() != null ? members.without() : desk.view;
        desk.out.tell(
                "replication.leave-over",
                "why",
                how,
                "ms",
                desk.now - since,
                "view",
                view == null ? "none" : view.ballot(),
                "members",
                view == null ? "" : MemberState.names(view.members()));
        desk.out.changed();
    }
}
