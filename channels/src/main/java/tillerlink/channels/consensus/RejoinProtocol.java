package tillerlink.channels.consensus;

import java.util.List;
import tillerlink.channels.epoch.RejoinCheck;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.messages.channels.ChannelsMessage.Answer;
import tillerlink.messages.channels.ChannelsMessage.Ask;

/**
 * The protocol by which a new process rejoins consensus. Its acceptor votes only after the other
 * gateways have answered what earlier processes of this gateway may have promised and accepted.
 */
final class RejoinProtocol {
  /** The time after which the other gateways are asked again, in tenths of a millisecond. */
  private static final long RETRY_INTERVAL = 5000;

  private final long incarnation;
  private final Journal journal;
  private final ChannelTransport transport;
  private final AcceptorRole acceptor;
  private final RejoinCheck check;
  private long askedAt = Long.MIN_VALUE / 2;

  RejoinProtocol(ConsensusContext context, AcceptorRole acceptor) {
    incarnation = context.incarnation();
    journal = context.journal();
    transport = context.transport();
    this.acceptor = acceptor;
    check = new RejoinCheck(context.self(), context.counted());
  }

  /** Handles another gateway's answer; answers to earlier processes are ignored. */
  void onAnswer(String from, Answer answer) {
    if (answer.incarnation() == incarnation && !check.isDone()) {
      check.onAnswer(from, answer);
    }
  }

  /**
   * Asks the other gateways or, once enough have answered, merges their answers and persists the
   * result. Called only while the acceptor does not vote.
   *
   * @param now the time in tenths of a millisecond
   */
  void tick(long now) {
    List<String> voters = journal.voters();
    if (check.checkCompletion(voters, journal.applied())) {
      for (Answer answer : check.answers()) {
        acceptor.state().merge(answer.promised(), answer.acceptedIn(), answer.accepted());
      }
      acceptor.state().markRecovered();
      askedAt = now - RETRY_INTERVAL - 1;
    }
    if (now - askedAt <= RETRY_INTERVAL) {
      return;
    }
    askedAt = now;
    if (check.isDone()) {
      acceptor.persist(acceptor::startVoting);
    } else {
      check.gatewaysToAsk(voters).forEach(other -> transport.send(other, new Ask(incarnation)));
    }
  }
}
