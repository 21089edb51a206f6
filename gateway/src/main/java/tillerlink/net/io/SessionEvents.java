package tillerlink.net.io;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;

/** Posts the events of MINA's sessions to the event-loop thread, through the channel of each. */
class SessionEvents extends IoHandlerAdapter {
  private static final String CHANNEL = "channel";
  private static final String CAUSE = "cause";

  /** Sets the channel of a session, before any event of it. */
  static void setChannel(IoSession session, MinaChannel channel) {
    session.setAttribute(CHANNEL, channel);
  }

  @Override
  public void sessionOpened(IoSession session) {
    channel(session).onOpened(session);
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    IoBuffer buffer = (IoBuffer) message;
    boolean bufferFilled = buffer.limit() == buffer.capacity();
    channel(session).postBytes(MinaDriver.copy(buffer), bufferFilled);
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    MinaChannel channel = channel(session);
    if (!(message instanceof DeadlineWrite deadlineWrite)) {
      channel.post(Channel.Owner::onWritten);
    } else if (deadlineWrite.expired()) {
      channel.post(Channel.Owner::onWriteExpired);
    } else {
      channel.post(owner -> owner.onWritten(deadlineWrite.firstByteAt()));
    }
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    session.setAttribute(CAUSE, cause);
    session.closeNow();
  }

  @Override
  public void sessionClosed(IoSession session) {
    MinaChannel channel = channel(session);
    DisconnectReason reason =
        session.containsAttribute(CAUSE) ? DisconnectReason.RESET : DisconnectReason.CLOSED_BY_PEER;
    channel.post(owner -> owner.onClosed(reason));
  }

  private static MinaChannel channel(IoSession session) {
    return (MinaChannel) session.getAttribute(CHANNEL);
  }
}
