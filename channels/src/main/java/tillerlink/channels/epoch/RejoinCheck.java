package tillerlink.channels.epoch;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.messages.channels.ChannelsMessage.Answer;

/**
 * The check that decides when a process that has just started may vote. Its disk may have been lost
 * or replaced by an old copy, which the process cannot detect by itself. Therefore it first asks
 * the other gateways what it may have promised and accepted. More than half of them must answer, so
 * that the answers include at least one member of any majority that the gateway was ever part of.
 */
public final class RejoinCheck {
  private final String self;
  private final List<String> counted;
  private final TreeMap<String, Answer> answers = new TreeMap<>();
  private boolean isDone;

  /**
   * Creates the check for one process.
   *
   * @param self this gateway's name
   * @param counted the gateways that the operator's settings allow as voters; voters that are not
   *     among them are not waited for if there is another voter that is
   */
  public RejoinCheck(String self, List<String> counted) {
    this.self = self;
    this.counted = counted;
  }

  /** Records the answer of another gateway; it replaces an earlier one. */
  public void onAnswer(String from, Answer answer) {
    answers.put(from, answer);
  }

  /** Returns whether enough gateways have answered. */
  public boolean isDone() {
    return isDone;
  }

  /** Returns the other gateways whose answers are waited for. */
  public Set<String> gatewaysToAsk(List<String> voters) {
    Set<String> others = new TreeSet<>(voters);
    if (others.stream().anyMatch(other -> !other.equals(self) && counted.contains(other))) {
      others.retainAll(counted);
    }
    others.remove(self);
    return others;
  }

  /**
   * Checks whether enough gateways have answered. If all have answered, the check also completes
   * when none of them knows its own state, or when this process has applied no slot.
   *
   * @param voters the gateways that decide on the next slot
   * @param applied the slot up to which this process holds all events and cuts. The check is not
   *     done while an answer reports a later decided slot: otherwise the voter would count as
   *     recovered while events that were on its lost disk are held by too few other gateways
   * @return true only the first time that enough gateways have answered
   */
  public boolean checkCompletion(List<String> voters, long applied) {
    if (isDone) {
      return false;
    }
    Set<String> others = gatewaysToAsk(voters);
    List<Answer> received = others.stream().filter(answers::containsKey).map(answers::get).toList();
    boolean isBehind = received.stream().anyMatch(answer -> answer.decided() > applied);
    long recovered = received.stream().filter(Answer::knows).count();
    boolean isFirstStart = received.size() == others.size() && (recovered == 0 || applied == 0);
    isDone = !isBehind && (recovered > others.size() / 2 || others.isEmpty() || isFirstStart);
    return isDone;
  }

  /** Returns all answers, in the order of the gateways' names. */
  public Collection<Answer> answers() {
    return Collections.unmodifiableCollection(answers.values());
  }
}
