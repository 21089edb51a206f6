package tillerlink.channels.epoch;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.messages.channels.ChannelsMessage.Answer;

/**
 * Decides when a process that has just started may vote. Its disk may be lost, or an old copy, and
 * it can't tell so itself; so the others are asked first what it may have promised and accepted.
 * More than half of the others must answer: then at least one of any majority that the gateway was
 * ever part of is among them.
 */
public final class RejoinCheck {
  private final String self;
  private final List<String> counted;
  private final TreeMap<String, Answer> answers = new TreeMap<>();
  private boolean done;

  /**
   * Starts the check for one process.
   *
   * @param counted the gateways that the operator counts; others are not waited for
   */
  public RejoinCheck(String self, List<String> counted) {
    this.self = self;
    this.counted = counted;
  }

  /** Takes the answer of another gateway. */
  public void onAnswer(String from, Answer answer) {
    answers.put(from, answer);
  }

  /** Whether enough have answered. */
  public boolean isDone() {
    return done;
  }

  /** Returns those whose answers are waited for. */
  public Set<String> others(List<String> voters) {
    Set<String> others = new TreeSet<>(voters);
    if (others.stream().anyMatch(other -> !other.equals(self) && counted.contains(other))) {
      others.retainAll(counted);
    }
    others.remove(self);
    return others;
  }

  /**
   * Checks whether enough have answered.
   *
   * @param applied the slot up to which this process holds everything; while an answer has a later
   *     one, the check is not done: a voter that counted as recovered before would leave what was
   *     on its disk on too few others
   * @return true the first time that enough have answered
   */
  public boolean completes(List<String> voters, long applied) {
    if (done) {
      return false;
    }
    Set<String> others = others(voters);
    List<Answer> given = others.stream().filter(answers::containsKey).map(answers::get).toList();
    boolean behind = given.stream().anyMatch(answer -> answer.decided() > applied);
    long knowing = given.stream().filter(Answer::knows).count();
    boolean founding = given.size() == others.size() && (knowing == 0 || applied == 0);
    done = !behind && (knowing > others.size() / 2 || others.isEmpty() || founding);
    return done;
  }

  /** Returns all answers, in the order of the gateways' names. */
  public Collection<Answer> answers() {
    return Collections.unmodifiableCollection(answers.values());
  }
}
