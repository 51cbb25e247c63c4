package brambletray.platform.replication;

import java.util.List;

/**
 * Dispatches each message to its handler. Messages for a role that this member does not have are dropped.
 */
final class MessageDispatcher {
    private final ReplicaState state;
    private final RoleState roles;
    private final MessageHandlers handlers;
    private final StateTransferServer stateTransferServer;

    MessageDispatcher(ReplicaState state, RoleState roles, MessageHandlers handlers) {
        this.state = state;
        this.roles = roles;
        this.handlers = handlers;
        stateTransferServer = new StateTransferServer(state, this::logToServe);
    }

    /** The log of a view that this member is installing, or its own log for {@link Ballot#NONE}. */
    private ReplicatedLog logToServe(Ballot view) {
        if (view.equals(Ballot.NONE)) {
            return state.view() == null ? null : state.log();
        }
        return roles.viewChange() == null ? null : roles.viewChange().logForTransfer(view);
    }

    void tick() {
        handlers.viewInstaller().tick();
        stateTransferServer.tick();
    }

    void dispatch(String from, ReplicationMessage message) {
        boolean handled = dispatchToFollower(from, message)
                || dispatchToLeader(message)
                || dispatchToViewChange(from, message)
                || dispatchToJoin(from, message);
        if (!handled) {
            dispatchOther(from, message);
        }
    }

    private boolean dispatchToFollower(String from, ReplicationMessage message) {
        if (message instanceof ReplicationMessage.HeartbeatRequest heartbeat) {
            handlers.follower().onHeartbeat(from, heartbeat);
        } else if (message instanceof ReplicationMessage.AppendRequest append) {
            handlers.follower().onAppend(from, append);
        } else if (message instanceof ReplicationMessage.InstallViewRequest install) {
            handlers.viewInstaller()
                    .onInstallView(from, install, handlers.joinRequester().patchBase());
        } else if (message instanceof ReplicationMessage.InstallViewOffer offer) {
            handlers.viewInstaller()
                    .onInstallViewOffer(from, offer, handlers.joinRequester().patchBase());
        } else if (message instanceof ReplicationMessage.PrepareRequest prepare) {
            handlers.follower().onPrepare(from, prepare);
            if (state.view() == null) {
                // the proposer believes that this address is a member: a join request shows that its disk was replaced
                handlers.joinRequester().sendJoinRequests(List.of(from));
            }
        } else if (message instanceof ReplicationMessage.NotMember notMember) {
            roles.onNotMember(notMember.view());
            if (roles.isExcluded()) {
                handlers.joinRequester().tick();
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean dispatchToLeader(ReplicationMessage message) {
        if (message instanceof ReplicationMessage.AppendResponse response) {
            LeaderState leader = roles.leaderOf(response.viewBallot());
            if (leader != null) {
                leader.onDurable(response.incarnation(), response.durableIndex());
            }
        } else if (message instanceof ReplicationMessage.HeartbeatResponse response) {
            LeaderState leader = roles.leaderOf(response.viewBallot());
            if (leader != null) {
                leader.onHeartbeatResponse(response);
            }
        } else if (message instanceof ReplicationMessage.ProposeRequest proposal) {
            LeaderState leader = roles.leaderOf(proposal.viewBallot());
            if (leader != null) {
                leader.propose(proposal.origin(), proposal.token(), proposal.bytes());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean dispatchToViewChange(String from, ReplicationMessage message) {
        ViewChange viewChange = roles.viewChange();
        if (message instanceof ReplicationMessage.PrepareResponse response) {
            if (viewChange != null) {
                viewChange.onPrepareResponse(response);
            }
        } else if (message instanceof ReplicationMessage.BallotRejected rejection) {
            if (viewChange != null) {
                viewChange.onBallotRejected(rejection, from);
            }
        } else if (message instanceof ReplicationMessage.InstallViewResponse response) {
            if (viewChange != null && viewChange.ballot().equals(response.viewBallot())) {
                viewChange.onInstalled(response.incarnation());
            }
        } else if (message instanceof ReplicationMessage.PatchMismatch mismatch) {
            if (viewChange != null && viewChange.ballot().equals(mismatch.viewBallot())) {
                viewChange.onPatchMismatch(mismatch.incarnation());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean dispatchToJoin(String from, ReplicationMessage message) {
        if (message instanceof ReplicationMessage.JoinRequest request) {
            handlers.joinAdmission().onJoinRequest(from, request);
        } else if (message instanceof ReplicationMessage.JoinResponse response) {
            handlers.joinRequester().onJoinResponse(from, response);
        } else if (message instanceof ReplicationMessage.KnownMembers knownMembers) {
            state.addKnownAddress(from);
            knownMembers.addresses().forEach(state::addKnownAddress);
        } else if (message instanceof ReplicationMessage.IdentityRequest request) {
            state.actions().send(from, new ReplicationMessage.IdentityResponse(request.nonce(), state.self()));
        } else if (message instanceof ReplicationMessage.IdentityResponse response) {
            handlers.joinAdmission().onIdentityResponse(response);
        } else {
            return false;
        }
        return true;
    }

    private void dispatchOther(String from, ReplicationMessage message) {
        if (message instanceof ReplicationMessage.FetchChunkRequest request) {
            stateTransferServer.onFetchChunk(from, request);
        } else if (message instanceof ReplicationMessage.FetchChunkResponse chunk) {
            onChunk(chunk);
        } else if (message instanceof ReplicationMessage.LeaveRequest request) {
            handlers.leaveRequests().onLeaveRequest(from, request);
        } else if (message instanceof ReplicationMessage.ReadIndexRequest request) {
            handlers.readIndex().onReadIndexRequest(from, request);
        } else if (message instanceof ReplicationMessage.ReadIndexResponse response) {
            handlers.readIndex().onReadIndexResponse(response);
        }
    }

    /** Offers the chunk to all clients; the one that started the transfer with its number accepts it. */
    private void onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        handlers.joinRequester().onChunk(chunk);
        handlers.viewInstaller().onChunk(chunk);
        if (roles.viewChange() != null) {
            roles.viewChange().onChunk(chunk);
        }
    }
}
