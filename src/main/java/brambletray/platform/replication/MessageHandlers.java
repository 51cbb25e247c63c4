package brambletray.platform.replication;

/** The components of a member that handle messages. */
record MessageHandlers(
        FollowerState follower,
        ViewInstaller viewInstaller,
        JoinRequester joinRequester,
        JoinAdmission joinAdmission,
        ReadIndex readIndex,
        LeaveRequests leaveRequests) {}
