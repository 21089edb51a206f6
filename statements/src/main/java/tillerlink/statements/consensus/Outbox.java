package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage;

/** Sends messages to other gateways. */
@FunctionalInterface
public interface Outbox {
  /** Sends a message; it may be lost, duplicated or reordered on the way. */
  void send(String to, StatementMessage message);
}
