package tillerlink.fakes;

import java.util.List;

/**
 * A fake engine's end of one connection, in the protocol that it speaks. It turns bytes into
 * commands and replies into bytes, and has no socket of its own.
 */
public interface EngineProtocolServer {
  /** Takes bytes that the gateway sent. */
  void feed(byte[] bytes);

  /**
   * Returns the next command, or null while it is incomplete.
   *
   * @throws IllegalArgumentException if the connection can't go on
   */
  EngineCommandParser.Command next();

  /**
   * Returns the bytes to write for a reply; empty where the protocol has no message for it or the
   * flow-control window is exhausted.
   */
  byte[] encode(EngineReply reply);

  /**
   * Returns what the protocol itself has to write since the last call: acknowledgements, window
   * updates, and output that these had held back.
   */
  byte[] takePendingOutput();

  /**
   * Returns, once, the attempts which it has declared as never executed by other means than a
   * reply.
   */
  default List<String> takeNotExecuted() {
    return List.of();
  }

  /**
   * Whether it has declared that it does not act on an attempt that was sent on the connection, as
   * the sender numbers it.
   */
  default boolean isBeyondGoAway(EngineProtocolServer sender, String attempt) {
    return false;
  }
}
