#ifndef BASE_STACK_H
#define BASE_STACK_H

void *stack_low(void);
void stack_release(void *);
void stack_release_idle(void *);

#endif
