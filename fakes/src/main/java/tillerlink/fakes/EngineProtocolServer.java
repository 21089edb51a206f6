package tillerlink.fakes;

import java.util.List;

/**
 * A fake engine's end of one connection in the protocol of the connection. It decodes bytes into
 * commands and encodes replies into bytes. It has no socket.
 */
public interface EngineProtocolServer {
  /** Appends bytes that the gateway sent to the input. */
  void feed(byte[] bytes);

  /**
   * Returns the next command, or null while it is incomplete.
   *
   * @throws IllegalArgumentException if the input violates the protocol, so that the connection
   *     must be closed
   */
  EngineCommandParser.Command next();

  /**
   * Encodes a reply.
   *
   * @return the bytes to write, empty if the protocol has no message for the reply or the
   *     flow-control window is exhausted
   */
  byte[] encode(EngineReply reply);

  /**
   * Returns the bytes that the protocol itself has to write since the last call: acknowledgements,
   * window updates, and responses that an exhausted flow-control window had delayed.
   */
  byte[] takePendingOutput();

  /**
   * Returns the attempts that were declared as not executed since the last call by other means than
   * a reply, such as a stream reset.
   *
   * @return the ids of the attempts
   */
  default List<String> takeNotExecuted() {
    return List.of();
  }

  /**
   * Returns whether this end has declared that it ignores an attempt that was sent on the
   * connection.
   *
   * @param sender the same connection as seen by the sender, which has parsed all that was sent and
   *     so maps the attempt to its stream even if this end has not received it
   * @param attempt the attempt's id
   */
  default boolean isBeyondGoAway(EngineProtocolServer sender, String attempt) {
    return false;
  }
}
