package tillerlink.statements.consensus;

import tillerlink.messages.statements.StatementMessage;

/** Sends to another gateway. */
@FunctionalInterface
public interface Outbox {
  void send(String to, StatementMessage message);
}
