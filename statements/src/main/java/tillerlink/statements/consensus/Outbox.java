package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage;

/** The sender of messages to other gateways. */
@FunctionalInterface
public interface Outbox {
  /**
   * Sends a message, which may be lost, duplicated or reordered in transit.
   *
   * @param to the name of the receiving gateway
   * @param message the message
   */
  void send(String to, StatementMessage message);
}
