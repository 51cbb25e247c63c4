package brambletray.platform.replication;

import java.util.List;

/** Hands each frame to the part of the member that it is for. */
final class MessageDispatcher {
    private final ReplicaState state;
    private final Replica replica;
    private final FollowerState follower;
    private final JoinRequester joinRequester;
    private final JoinAdmission joinAdmission;
    private final ReadIndex readIndex;
    private final StateTransferServer stateTransferServer;

    MessageDispatcher(
            ReplicaState state,
            Replica members,
            FollowerState follower,
            JoinRequester joinRequester,
            JoinAdmission joinAdmission,
            ReadIndex readIndex) {
        this.state = state;
        this.replica = members;
        this.follower = follower;
        this.joinRequester = joinRequester;
        this.joinAdmission = joinAdmission;
        this.readIndex = readIndex;
        stateTransferServer = new StateTransferServer(state, this::logToServe);
    }

    /** The log of a view that is being installed by this member, or its own. */
    private ReplicatedLog logToServe(Ballot view) {
        if (view.equals(Ballot.NONE)) {
            return state.view == null ? null : state.log;
        }
        return replica.viewChange() == null ? null : replica.viewChange().logForTransfer(view);
    }

    void tick() {
        follower.tick();
        stateTransferServer.tick();
    }

    void dispatch(String from, ReplicationMessage frame) {
        if (frame instanceof ReplicationMessage.HeartbeatRequest heartbeat) {
            follower.onHeartbeat(from, heartbeat);
        } else if (frame instanceof ReplicationMessage.AppendRequest append) {
            follower.onAppend(from, append);
        } else if (frame instanceof ReplicationMessage.InstallViewRequest install) {
            follower.onInstallView(from, install, joinRequester.patchBase());
        } else if (frame instanceof ReplicationMessage.InstallViewOffer offer) {
            follower.onInstallViewOffer(from, offer, joinRequester.patchBase());
        } else if (frame instanceof ReplicationMessage.PrepareRequest stop) {
            follower.onPrepare(from, stop);
            // who asks takes this address for a member: a knock shows that the disk is another one
            if (state.view == null) {
                joinRequester.sendJoinRequests(List.of(from));
            }
        } else if (frame instanceof ReplicationMessage.NotMember left) {
            follower.successorView(left);
            if (follower.isExcluded()) {
                replica.maybeRequestJoin();
            }
        } else if (!dispatchToLeader(frame) && !dispatchToViewChange(from, frame)) {
            dispatchOther(from, frame);
        }
    }

    private boolean dispatchToLeader(ReplicationMessage frame) {
        if (frame instanceof ReplicationMessage.AppendResponse ack) {
            LeaderState leader = replica.leaderOf(ack.viewBallot());
            if (leader != null) {
                leader.onDurable(ack.incarnation(), ack.durableIndex());
            }
        } else if (frame instanceof ReplicationMessage.HeartbeatResponse response) {
            LeaderState leader = replica.leaderOf(response.viewBallot());
            if (leader != null) {
                leader.onHeartbeatResponse(response);
            }
        } else if (frame instanceof ReplicationMessage.ProposeRequest submit) {
            LeaderState leader = replica.leaderOf(submit.viewBallot());
            if (leader != null) {
                leader.propose(submit.origin(), submit.token(), submit.bytes());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean dispatchToViewChange(String from, ReplicationMessage frame) {
        ViewChange viewChange = replica.viewChange();
        if (frame instanceof ReplicationMessage.PrepareResponse response) {
            if (viewChange != null) {
                viewChange.onPrepareResponse(response);
            }
        } else if (frame instanceof ReplicationMessage.BallotRejected rejection) {
            if (viewChange != null) {
                viewChange.onBallotRejected(rejection, from);
            }
        } else if (frame instanceof ReplicationMessage.InstallViewResponse installed) {
            if (viewChange != null && viewChange.ballot().equals(installed.viewBallot())) {
                viewChange.onInstalled(installed.incarnation());
            }
        } else if (frame instanceof ReplicationMessage.PatchMismatch mismatch) {
            if (viewChange != null && viewChange.ballot().equals(mismatch.viewBallot())) {
                viewChange.onPatchMismatch(mismatch.incarnation());
            }
        } else {
            return false;
        }
        return true;
    }

    private void dispatchOther(String from, ReplicationMessage frame) {
        if (frame instanceof ReplicationMessage.JoinRequest joinRequest) {
            joinAdmission.onJoinRequest(from, joinRequest);
        } else if (frame instanceof ReplicationMessage.JoinResponse response) {
            joinRequester.onJoinResponse(from, response);
        } else if (frame instanceof ReplicationMessage.KnownMembers knownMembers) {
            state.addKnownAddress(from);
            knownMembers.addresses().forEach(state::addKnownAddress);
        } else if (frame instanceof ReplicationMessage.IdentityRequest who) {
            state.actions.send(from, new ReplicationMessage.IdentityResponse(who.nonce(), state.self));
        } else if (frame instanceof ReplicationMessage.IdentityResponse here) {
            joinAdmission.onIdentityResponse(here);
        } else if (frame instanceof ReplicationMessage.FetchChunkRequest request) {
            stateTransferServer.onFetchChunk(from, request);
        } else if (frame instanceof ReplicationMessage.FetchChunkResponse chunk) {
            joinRequester.onChunk(chunk);
            follower.onChunk(chunk);
            if (replica.viewChange() != null) {
                replica.viewChange().onChunk(chunk);
            }
        } else if (frame instanceof ReplicationMessage.LeaveRequest request) {
            replica.onLeaveRequest(from, request);
        } else if (frame instanceof ReplicationMessage.ReadIndexRequest request) {
            readIndex.onReadIndexRequest(from, request);
        } else if (frame instanceof ReplicationMessage.ReadIndexResponse response) {
            readIndex.onReadIndexResponse(response);
        }
    }
}
