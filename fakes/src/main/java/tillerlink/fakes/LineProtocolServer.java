package tillerlink.fakes;

import java.util.List;

/** An engine's side of one connection, in the protocol that it speaks; knows no socket. */
public interface LineProtocolServer {
  void feed(byte[] bytes);

  /**
   * The next command, or null while it is not whole.
   *
   * @throws IllegalArgumentException if the connection can't go on
   */
  EngineCommands.Command next();

  /**
   * What is to be written for that; empty where the protocol has no word for it, or its window is
   * shut.
   */
  byte[] say(EngineReplies what);

  /**
   * What the protocol itself owes since it was last asked: receipts, windows, and what these had
   * held back.
   */
  byte[] owed();

  /**
   * Attempts of which it has said, by other means than an answer, that they never ran; told once.
   */
  default List<String> disowned() {
    return List.of();
  }

  /**
   * Whether it has said that it does not act on an attempt that was sent on the connection as the
   * sender sees it.
   */
  default boolean leftBehind(LineProtocolServer sender, String attempt) {
    return false;
  }

  /** Engine lines. */
  final class Lines implements LineProtocolServer {
    private final EngineCommands reader = new EngineCommands();

    @Override
    public void feed(byte[] bytes) {
      reader.feed(bytes);
    }

    @Override
    public EngineCommands.Command next() {
      return reader.next();
    }

    @Override
    public byte[] say(EngineReplies what) {
      return what.line();
    }

    @Override
    public byte[] owed() {
      return new byte[0];
    }
  }
}
