package tillerlink.messages;

/**
 * An enum constant that a number stands for in messages and in stored values. A number, once given
 * to a constant, is never given to another; new constants get the next one.
 */
public interface Numbered {
  /** Returns the number that stands for this constant. */
  int number();

  /**
   * Finds the constant that a number stands for.
   *
   * @param constants all constants of the enum
   * @throws IllegalArgumentException if no constant has the number
   */
  static <E extends Numbered> E of(E[] constants, int number) {
    for (E constant : constants) {
      if (constant.number() == number) {
        return constant;
      }
    }
    throw new IllegalArgumentException("no constant has the number " + number);
  }
}
