/** The adapter that runs the decision module on the simulator's line protocol. */
package brambletray.relay.simhost;
