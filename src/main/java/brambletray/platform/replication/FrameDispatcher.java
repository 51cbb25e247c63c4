package brambletray.platform.replication;

import java.util.List;

/** Hands each frame to the part of the member that it is for. */
final class FrameDispatcher {
    private final MemberState desk;
    private final Replica members;
    private final Follower following;
    private final JoinRequester joinRequester;
    private final JoinAdmission gate;
    private final ReadIndex confirms;
    private final StateTransferServer serving;

    FrameDispatcher(
            MemberState desk,
            Replica members,
            Follower following,
            JoinRequester joinRequester,
            JoinAdmission gate,
            ReadIndex confirms) {
        this.desk = desk;
        this.members = members;
        this.following = following;
        this.joinRequester = joinRequester;
        this.gate = gate;
        this.confirms = confirms;
        serving = new StateTransferServer(desk, this::log);
    }

    /** The log of a view that is being installed by this member, or its own. */
    private ReplicatedLog log(Ballot view) {
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
        if (frame instanceof Frame.Heartbeat beat) {
            following.beat(from, beat);
        } else if (frame instanceof Frame.Append append) {
            following.append(from, append);
        } else if (frame instanceof Frame.Install install) {
            following.install(from, install, joinRequester.base());
        } else if (frame instanceof Frame.TransferOffer offer) {
            following.offer(from, offer, joinRequester.base());
        } else if (frame instanceof Frame.StopRequest stop) {
            following.stop(from, stop);
            // who asks takes this address for a member: a knock shows that the disk is another one
            if (desk.view == null) {
                joinRequester.knock(List.of(from));
            }
        } else if (frame instanceof Frame.NotMember left) {
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
            Leader leading = members.leads(ack.view());
            if (leading != null) {
                leading.ack(ack.life(), ack.index());
            }
        } else if (frame instanceof Frame.HeartbeatAnswer back) {
            Leader leading = members.leads(back.view());
            if (leading != null) {
                leading.back(back);
            }
        } else if (frame instanceof Frame.Submit submit) {
            Leader leading = members.leads(submit.view());
            if (leading != null) {
                leading.take(submit.origin(), submit.token(), submit.bytes());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean change(String from, Frame frame) {
        ViewChange changing = members.changing();
        if (frame instanceof Frame.StopAnswer told) {
            if (changing != null) {
                changing.told(told);
            }
        } else if (frame instanceof Frame.Refuse nay) {
            if (changing != null) {
                changing.nay(nay, from);
            }
        } else if (frame instanceof Frame.Installed installed) {
            if (changing != null && changing.ballot().equals(installed.view())) {
                changing.installed(installed.life());
            }
        } else if (frame instanceof Frame.PatchMismatch unfit) {
            if (changing != null && changing.ballot().equals(unfit.view())) {
                changing.unfit(unfit.life());
            }
        } else {
            return false;
        }
        return true;
    }

    private void rest(String from, Frame frame) {
        if (frame instanceof Frame.JoinRequest knock) {
            gate.knock(from, knock);
        } else if (frame instanceof Frame.JoinAnswer come) {
            joinRequester.come(from, come);
        } else if (frame instanceof Frame.KnownMembers met) {
            desk.meet(from);
            met.addresses().forEach(desk::meet);
        } else if (frame instanceof Frame.IdentityRequest who) {
            desk.out.send(from, new Frame.IdentityAnswer(who.nonce(), desk.me));
        } else if (frame instanceof Frame.IdentityAnswer here) {
            gate.here(here);
        } else if (frame instanceof Frame.PieceRequest pull) {
            serving.pull(from, pull);
        } else if (frame instanceof Frame.Piece piece) {
            joinRequester.piece(piece);
            following.piece(piece);
            if (members.changing() != null) {
                members.changing().piece(piece);
            }
        } else if (frame instanceof Frame.Leave bye) {
            members.bye(from, bye);
        } else if (frame instanceof Frame.ConfirmRequest ask) {
            confirms.asked(from, ask);
        } else if (frame instanceof Frame.ConfirmAnswer same) {
            confirms.same(same);
        }
    }
}
