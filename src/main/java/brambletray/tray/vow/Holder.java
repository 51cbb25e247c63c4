package brambletray.tray.vow;

import brambletray.tray.view.Member;

/**
 * Who has a duty.
 *
 * @param term   fence: grows only, over restarts and lost disks
 * @param member that holds it
 */
public record Holder(long term, Member member) {}
