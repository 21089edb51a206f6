package tillerlink.replay;

/** How clients reach gateways. */
public interface Lines {
  /** A connection as its client uses it. */
  interface Line {
    void say(byte[] bytes);

    void hangUp();
  }

  /** Who hears what comes on it. */
  interface Client {
    void heard(byte[] bytes);

    /** The gateway ended it, or it never came up; told once, and not after the client hung up. */
    void ended();
  }

  boolean isUp(int gateway);

  Line open(int gateway, Client client);
}
