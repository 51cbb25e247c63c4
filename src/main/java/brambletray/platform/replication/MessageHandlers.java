package brambletray.platform.replication;

/** The parts of a member that messages are for. */
record MessageHandlers(
        FollowerState follower,
        ViewInstaller viewInstaller,
        JoinRequester joinRequester,
        JoinAdmission joinAdmission,
        ReadIndex readIndex,
        LeaveRequests leaveRequests) {}
