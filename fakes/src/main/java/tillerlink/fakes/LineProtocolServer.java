package tillerlink.fakes;

/** A fake engine's end of one connection in the line protocol. */
public final class LineProtocolServer implements EngineProtocolServer {
  private static final byte[] NO_OUTPUT = new byte[0];

  private final EngineCommandParser parser = new EngineCommandParser();

  @Override
  public void feed(byte[] bytes) {
    parser.feed(bytes);
  }

  @Override
  public EngineCommandParser.Command next() {
    return parser.next();
  }

  @Override
  public byte[] encode(EngineReply reply) {
    return reply.line();
  }

  @Override
  public byte[] takePendingOutput() {
    return NO_OUTPUT;
  }
}
