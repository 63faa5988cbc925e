package org.cuminwell.app;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Calls handlers of the process's own in place of what a signal does by default. Stateless and
 * thread safe.
 *
 * <p>The JDK's signal class is reached by reflection, since the compiler hides it.
 */
final class Signals {

  private static final System.Logger LOG = System.getLogger(Signals.class.getName());

  private Signals() {}

  /**
   * Calls the handler on a thread of its own at each signal of the name from now on.
   *
   * @param name the name of the signal without SIG, such as TERM
   */
  static void handle(String name, Runnable handler) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler call =
          (_, _, _) -> {
            handler.run();
            return null;
          };
      Object named = signal.getConstructor(String.class).newInstance(name);
      Object proxy =
          Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType}, call);
      signal.getMethod("handle", signal, handlerType).invoke(null, named, proxy);
    } catch (ReflectiveOperationException e) {
      LOG.log(System.Logger.Level.WARNING, "SIG" + name + " will end this process at once", e);
    }
  }
}
