#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

/* Shared by the parser and the look-ups. */
int config_method_number(const char *);
int config_key_cmp(const void *, const void *);

#endif
