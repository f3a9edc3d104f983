#ifndef BASE_IMAGE_H
#define BASE_IMAGE_H

void image_release(void);

#endif
