package brambletray.platform.operations;

import brambletray.platform.configuration.KeyDigest;

/**
 * The tenant to which a configuration assigns a credential.
 *
 * @param tenant name of the tenant; empty if none holds the credential
 */
public record TenantAssignment(KeyDigest credential, String tenant) {}
