/** Duties by ballots among the members of the view in force, under terms that only grow. */
package brambletray.platform.election;
