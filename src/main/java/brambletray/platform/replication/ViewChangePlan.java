package brambletray.platform.replication;

import java.util.Map;
import java.util.Set;

/**
 * The members that a view change excludes and admits.
 *
 * @param suspected incarnations whose responses are not waited for
 * @param excluded  incarnations that are excluded if the others suffice, even if they respond
 * @param newcomers admitted join requests, by incarnation
 */
record ViewChangePlan(Set<Long> suspected, Set<Long> excluded, Map<Long, ReplicationMessage.JoinRequest> newcomers) {}
