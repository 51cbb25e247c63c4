package brambletray.tray.view;

import java.util.List;

/** Hands each frame to the part of the member that it is for. */
final class Ear {
    private final Desk desk;
    private final Members members;
    private final Following following;
    private final Knocking knocking;
    private final Gate gate;
    private final Confirms confirms;
    private final Serving serving;

    Ear(Desk desk, Members members, Following following, Knocking knocking, Gate gate, Confirms confirms) {
        this.desk = desk;
        this.members = members;
        this.following = following;
        this.knocking = knocking;
        this.gate = gate;
        this.confirms = confirms;
        serving = new Serving(desk, this::log);
    }

    /** The log of a view that is being installed by this member, or its own. */
    private Log log(Ballot view) {
        if (view.equals(Ballot.NONE)) {
            return desk.view == null ? null : desk.log;
        }
        return members.changing() == null ? null : members.changing().offered(view);
    }

    void tick() {
        following.tick();
        serving.tick();
    }

    void hear(String from, Frame frame) {
        if (frame instanceof Frame.Beat beat) {
            following.beat(from, beat);
        } else if (frame instanceof Frame.Append append) {
            following.append(from, append);
        } else if (frame instanceof Frame.Install install) {
            following.install(from, install, knocking.base());
        } else if (frame instanceof Frame.Offer offer) {
            following.offer(from, offer, knocking.base());
        } else if (frame instanceof Frame.Stop stop) {
            following.stop(from, stop);
            // who asks takes this address for a member: a knock shows that the disk is another one
            if (desk.view == null) {
                knocking.knock(List.of(from));
            }
        } else if (frame instanceof Frame.Left left) {
            following.left(left);
            if (following.fallen()) {
                members.knock();
            }
        } else if (!leader(frame) && !change(from, frame)) {
            rest(from, frame);
        }
    }

    private boolean leader(Frame frame) {
        if (frame instanceof Frame.Ack ack) {
            Leading leading = members.leads(ack.view());
            if (leading != null) {
                leading.ack(ack.life(), ack.index());
            }
        } else if (frame instanceof Frame.Back back) {
            Leading leading = members.leads(back.view());
            if (leading != null) {
                leading.back(back);
            }
        } else if (frame instanceof Frame.Submit submit) {
            Leading leading = members.leads(submit.view());
            if (leading != null) {
                leading.take(submit.origin(), submit.token(), submit.bytes());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean change(String from, Frame frame) {
        Changing changing = members.changing();
        if (frame instanceof Frame.Told told) {
            if (changing != null) {
                changing.told(told);
            }
        } else if (frame instanceof Frame.Nay nay) {
            if (changing != null) {
                changing.nay(nay, from);
            }
        } else if (frame instanceof Frame.Installed installed) {
            if (changing != null && changing.ballot().equals(installed.view())) {
                changing.installed(installed.life());
            }
        } else if (frame instanceof Frame.Unfit unfit) {
            if (changing != null && changing.ballot().equals(unfit.view())) {
                changing.unfit(unfit.life());
            }
        } else {
            return false;
        }
        return true;
    }

    private void rest(String from, Frame frame) {
        if (frame instanceof Frame.Knock knock) {
            gate.knock(from, knock);
        } else if (frame instanceof Frame.Come come) {
            knocking.come(from, come);
        } else if (frame instanceof Frame.Met met) {
            desk.meet(from);
            met.addresses().forEach(desk::meet);
        } else if (frame instanceof Frame.Who who) {
            desk.out.send(from, new Frame.Here(who.nonce(), desk.me));
        } else if (frame instanceof Frame.Here here) {
            gate.here(here);
        } else if (frame instanceof Frame.Pull pull) {
            serving.pull(from, pull);
        } else if (frame instanceof Frame.Piece piece) {
            knocking.piece(piece);
            following.piece(piece);
            if (members.changing() != null) {
                members.changing().piece(piece);
            }
        } else if (frame instanceof Frame.Bye bye) {
            members.bye(from, bye);
        } else if (frame instanceof Frame.Ask ask) {
            confirms.asked(from, ask);
        } else if (frame instanceof Frame.Same same) {
            confirms.same(same);
        }
    }
}
